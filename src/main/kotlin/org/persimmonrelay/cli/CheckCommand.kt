package org.persimmonrelay.cli

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import org.persimmonrelay.settings.SettingsError
import java.io.File
import java.io.PrintStream

/** `check FILE`: reports every mistake in a settings file at once. */
internal class CheckCommand : Command {
    @Argument(required = true, metaVar = "FILE", usage = "settings of a node")
    private lateinit var file: File

    @Option(name = "--json", usage = "one JSON line per mistake")
    private var json: Boolean = false

    override fun run(out: PrintStream, err: PrintStream): Int = SettingsFile(file).read().fold(
        { mistakes ->
            mistakes.forEach { out.println(if (json) JsonLines.encode(MistakeLine.of(it)) else it) }
            ExitCode.USAGE
        },
        {
            if (!json) out.println("$file: no mistakes")
            ExitCode.OK
        },
    )
}

/** A mistake as `check --json` prints it. */
@kotlinx.serialization.Serializable
internal data class MistakeLine(val path: String, val value: String, val expected: String, val remedy: String) {
    companion object {
        fun of(mistake: SettingsError) = MistakeLine(mistake.path, mistake.value, mistake.expected, mistake.remedy)
    }
}
