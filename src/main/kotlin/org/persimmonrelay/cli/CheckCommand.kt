package org.persimmonrelay.cli

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import org.persimmonrelay.settings.SettingsError
import java.io.File
import java.io.PrintStream

/** `check FILE`: validates a settings file and reports all errors. */
internal class CheckCommand : Command {
    @Argument(required = true, metaVar = "FILE", usage = "settings file of a node")
    private lateinit var file: File

    @Option(name = "--json", usage = "print one JSON line per error")
    private var json: Boolean = false

    override fun run(out: PrintStream, err: PrintStream): Int = SettingsFile(file).read().fold(
        { errors ->
            errors.forEach { out.println(if (json) JsonLines.encode(SettingsErrorLine.of(it)) else it) }
            ExitCode.USAGE
        },
        {
            if (!json) out.println("$file: no errors found")
            ExitCode.OK
        },
    )
}

/** An error in a settings file as `check --json` prints it. */
@kotlinx.serialization.Serializable
internal data class SettingsErrorLine(val path: String, val value: String, val expected: String, val remedy: String) {
    companion object {
        fun of(error: SettingsError) = SettingsErrorLine(error.path, error.value, error.expected, error.remedy)
    }
}
