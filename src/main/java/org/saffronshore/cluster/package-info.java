/**
 * The state of machines, jobs and attempts as known to one leader during its term, and all
 * decisions about which tasks count as being on which machine.
 *
 * <p>{@link org.saffronshore.cluster.Cluster} creates the components and is their facade. {@code
 * JobTable} and {@code MachineTable} hold jobs and machines; {@code MachineLifecycle} and {@code
 * AttemptLifecycle} change them. {@code HeartbeatReconciler} and {@code TaskStatusReconciler} apply
 * the messages of workers; {@code CommandBuilder}, {@code CommandQueue} and {@code
 * CommandDispatcher} prepare the commands that are sent to workers; {@code AttemptReaper} decides
 * when a worker may forget an attempt. {@code Reconciliation} tracks what earlier leaders may have
 * launched. {@code ClusterView} and {@code QuotaAccounting} present the state to the scheduling
 * cycle, and {@code CapacityView} to the autoscaler.
 *
 * <p>All classes are confined to the event loop thread and send nothing themselves; that is done by
 * package {@code control}. They use the domain types of {@code wire}, {@code scheduling} and {@code
 * fleet}, the settings and the event loop's clock, but neither HTTP nor the state service.
 */
@NullMarked
package org.saffronshore.cluster;

import org.jspecify.annotations.NullMarked;
