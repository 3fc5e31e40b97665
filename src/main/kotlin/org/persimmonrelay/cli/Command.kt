package org.persimmonrelay.cli

import java.io.PrintStream

/** A command of the executable. args4j sets its annotated fields from the arguments before [run]. */
public interface Command {
    /** Runs the command and returns the exit code of the process. */
    public fun run(out: PrintStream, err: PrintStream): Int
}
