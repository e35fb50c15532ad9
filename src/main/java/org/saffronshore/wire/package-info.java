/**
 * The protocols of users, workers and the cloud: a typed record for each message, which maps the
 * message's field names to the terms of the code, and the JSON helpers that all codecs share. The
 * field names of these protocols appear in no other package. This package uses no other package of
 * the project.
 */
package org.saffronshore.wire;
