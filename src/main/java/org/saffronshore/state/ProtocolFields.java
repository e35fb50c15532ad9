package org.saffronshore.state;

/** The field names of the state service's messages, for the classes that read or write these. */
final class ProtocolFields {
  /** A key: of a condition, or of an item of a listing. */
  static final String KEY = "K";

  /** The value of a key. */
  static final String VALUE = "Data";

  /** The revision of a key's last change. */
  static final String VERSION = "Stamp";

  /** The id of a lease. */
  static final String LEASE = "Permit";

  /** How long a lease lasts without a renewal, in milliseconds. */
  static final String LEASE_DURATION_MS = "LifeMs";

  /** The revision of the whole store. */
  static final String REVISION = "Ledger";

  /** The entries of a listing. */
  static final String ITEMS = "Items";

  /** Whether a listing has further entries after those in the response. */
  static final String TRUNCATED = "Truncated";

  /** The conditions of a transaction. */
  static final String CONDITIONS = "Guards";

  /** The writes of a transaction. */
  static final String WRITES = "Then";

  /** The key that a write or a watch event puts. */
  static final String PUT = "Set";

  /** The key that a write or a watch event deletes. */
  static final String DELETE = "Remove";

  /** The keys whose conditions did not hold. */
  static final String CONFLICTING_KEYS = "failed";

  /** The changes that a watch received. */
  static final String EVENTS = "Events";

  private ProtocolFields() {}
}
