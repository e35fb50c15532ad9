package lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A TCP proxy from one controller to another, which may hold packets or refuse connections. */
public final class PeerLink {
  private final ServerSocket server;
  private final int target;
  private final Gate gate = new Gate("link");
  private final List<Socket> open = new ArrayList<>();
  private volatile double delayS;

  PeerLink(int target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    Http.THREADS.execute(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  public void delay(double seconds) {
    delayS = seconds;
  }

  /** HOLD: packets wait, and are delivered when the link is open again. REFUSE: connections end. */
  public void set(Gate.Mode mode) {
    gate.set(mode);
    if (mode == Gate.Mode.REFUSE) {
      synchronized (open) {
        open.forEach(PeerLink::close);
        open.clear();
      }
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket from = server.accept();
        if (gate.mode() == Gate.Mode.REFUSE) {
          close(from);
          continue;
        }
        Http.THREADS.execute(() -> connect(from));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket from) {
    try {
      gate.pass();
      Socket to = new Socket();
      to.connect(new InetSocketAddress("127.0.0.1", target), 2000);
      from.setTcpNoDelay(true);
      to.setTcpNoDelay(true);
      synchronized (open) {
        open.add(from);
        open.add(to);
        if (open.size() > 400) {
          open.removeIf(Socket::isClosed);
        }
      }
      Http.THREADS.execute(() -> copy(to, from));
      copy(from, to);
    } catch (IOException | InterruptedException e) {
      close(from);
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[65536];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      while (true) {
        int length = in.read(buffer);
        if (delayS > 0) {
          Thread.sleep((long) (delayS * 1000));
        }
        gate.pass();
        if (length < 0) {
          break;
        }
        out.write(buffer, 0, length);
        out.flush();
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    }
    close(from);
    close(to);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
  }
}
