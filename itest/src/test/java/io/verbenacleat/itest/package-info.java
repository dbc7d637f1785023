/**
 * Failure tests that run a fleet as processes, inject faults into the processes and the
 * links between them, and check the receipts against the records of the stand-ins.
 */
@NullMarked
package io.verbenacleat.itest;

import org.jspecify.annotations.NullMarked;
