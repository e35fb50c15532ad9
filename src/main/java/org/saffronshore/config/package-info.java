/**
 * The platform's settings file as immutable, checked values. Parsing reports the first invalid
 * field by its path. Only the field names of that file stand here; the rest of the program uses the
 * terms of the glossary. Uses {@code wire} for the access to fields, and nothing else of the
 * program.
 */
@NullMarked
package org.saffronshore.config;

import org.jspecify.annotations.NullMarked;
