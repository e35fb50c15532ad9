/**
 * The program's command line: subcommands, exit statuses and the set-up of logging. Nothing else is
 * decided here; the work is done in {@code control}.
 */
@NullMarked
package org.saffronshore.cli;

import org.jspecify.annotations.NullMarked;
