/**
 * What one leader knows of machines, jobs and attempts during its term, and every decision about
 * what counts as running where.
 *
 * <p>{@link org.saffronshore.cluster.Cluster} builds the parts and is their facade. Tables ({@code
 * JobTable}, {@code MachineTable}) hold what there is; {@code MachineLifecycle} and {@code
 * AttemptLifecycle} change it; {@code HeartbeatReconciler} and {@code TaskStatusReconciler} bring
 * in what workers send; {@code CommandBuilder}, {@code CommandQueue} and {@code CommandDispatcher}
 * make what is sent to them; {@code Reconciliation} says what earlier leaders may have left behind;
 * {@code ClusterView} and {@code QuotaAccounting} show all of it to the scheduling cycle and the
 * autoscaler.
 *
 * <p>All of it belongs to the event loop's thread and sends nothing itself: package {@code control}
 * does that. It uses the domain types of {@code wire}, {@code scheduling} and {@code fleet}, the
 * settings and the event loop's clock; it uses neither HTTP nor the state service.
 */
@NullMarked
package org.saffronshore.cluster;

import org.jspecify.annotations.NullMarked;
