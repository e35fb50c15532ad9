/**
 * The interface for operators: the administration API on the address for peers, the metrics for
 * Prometheus, and the settings that are changed at run time. The names of metrics and fields are
 * part of the interface and never change. This package uses {@code state} for the stored settings
 * and {@code http} for responses, and does not depend on the internals of a controller.
 */
@NullMarked
package org.saffronshore.admin;

import org.jspecify.annotations.NullMarked;
