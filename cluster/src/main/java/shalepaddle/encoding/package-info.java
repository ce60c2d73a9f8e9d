/**
 * The forms in which members' state is written to disks and to other members: CBOR arrays whose
 * first value is the number of their form. What a later version adds at an array's end is passed
 * over; a form whose number is not known is turned down by name.
 */
package shalepaddle.encoding;
