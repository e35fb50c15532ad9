package org.saffronshore.leadership;

/**
 * One process of a controller.
 *
 * @param node the name of the controller
 * @param incarnation distinguishes this process from earlier processes of the same controller
 */
public record ControllerProcess(String node, String incarnation) {}
