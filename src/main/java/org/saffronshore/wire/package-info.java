/**
 * The protocols of users, workers and the cloud: a typed record for each message, with the one
 * place that maps its names on the wire to the terms of the code, and the JSON helpers that all
 * codecs share. The names on the wire stand nowhere else. Uses no other package of the project.
 */
package org.saffronshore.wire;
