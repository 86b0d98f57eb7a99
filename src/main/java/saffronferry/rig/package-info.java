/**
 * The fault rig: runs several real dispatcher processes on loopback against stand-in workers, a stand-in
 * discovery service and a load generator. A scenario, in the same format as the simulator's, injects faults
 * into the processes and the links between them. Rules and bounds are checked only from what clients and
 * workers observe.
 */
package saffronferry.rig;
