/**
 * The command-line interface of the program: subcommands, exit statuses and the set-up of logging.
 * The controller itself is in {@code control}.
 */
@NullMarked
package org.saffronshore.cli;

import org.jspecify.annotations.NullMarked;
