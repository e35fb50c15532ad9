/**
 * The protocols of users, workers and the cloud: a typed record for each message, which maps the
 * message's field names to the terms of the code, and the JSON helpers that all codecs share. The
 * field names appear nowhere else. Uses no other package of the project.
 */
package org.saffronshore.wire;
