/**
 * HTTP/1.1 for a controller, on Netty: the event loop with its clock, a server, a client with a
 * pool of idle connections, connection limits, and the admission queue that orders requests under
 * overload. This package does not depend on the contents of requests; it uses only {@code config},
 * for addresses, and {@code wire}, for JSON.
 */
@NullMarked
package org.saffronshore.http;

import org.jspecify.annotations.NullMarked;
