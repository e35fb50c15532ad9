/**
 * The platform's settings file as immutable, validated values. Parsing reports the first invalid
 * field by its path. The field names of that file appear only in this package; the rest of the
 * program uses the terms of the glossary. This package uses {@code wire} to read fields, and no
 * other package of the project.
 */
@NullMarked
package org.saffronshore.config;

import org.jspecify.annotations.NullMarked;
