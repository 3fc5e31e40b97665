package org.persimmonrelay.cli

import java.io.PrintStream

/** One command of the executable. Its fields carry args4j annotations and are set before [run]. */
public interface Command {
    /** Does the work and returns the process's exit code. */
    public fun run(out: PrintStream, err: PrintStream): Int
}
