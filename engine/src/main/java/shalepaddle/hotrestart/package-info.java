/**
 * What two processes of one node have in common while one takes the other's place: the listener
 * that the platform holds for both, and what each tells the other of itself. It decides nothing on
 * servers, and never makes anybody wait for a partner.
 */
package shalepaddle.hotrestart;
