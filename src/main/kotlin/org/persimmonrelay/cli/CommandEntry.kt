package org.persimmonrelay.cli

import java.io.PrintStream

/** A command's name, what it is for, and how it is run with the arguments behind its name. */
public class CommandEntry(
    public val name: String,
    public val summary: String,
    private val action: (List<String>, PrintStream, PrintStream) -> Int,
) {
    public fun run(args: List<String>, out: PrintStream, err: PrintStream): Int = action(args, out, err)

    public companion object {
        /** Every command of the product. */
        public val ALL: List<CommandEntry> =
            listOf(
                of("check", "report every mistake in a settings file", ::CheckCommand),
            )

        private fun of(name: String, summary: String, command: () -> Command) =
            CommandEntry(name, summary) { args, out, err -> runParsed(name, command(), args, out, err) }
    }
}
