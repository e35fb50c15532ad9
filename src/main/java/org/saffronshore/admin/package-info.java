/**
 * What operators see and set: the administration API on the peers' address, metrics for Prometheus,
 * and the settings that are changed at run time. Names of metrics and fields are part of the
 * interface and never change. Uses {@code state} for the stored settings and {@code http} to
 * respond; nothing else depends on how a controller works inside.
 */
@NullMarked
package org.saffronshore.admin;

import org.jspecify.annotations.NullMarked;
