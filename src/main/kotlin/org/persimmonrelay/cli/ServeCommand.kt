package org.persimmonrelay.cli

import arrow.core.getOrElse
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.Option
import org.persimmonrelay.node.Node
import org.persimmonrelay.node.NodeSecrets
import org.persimmonrelay.settings.NodeSettings
import java.io.File
import java.io.PrintStream

/** `serve --settings FILE`: runs a node until SIGTERM or SIGINT, then shuts it down gracefully. */
internal class ServeCommand : Command {
    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings file of the node")
    private lateinit var file: File

    override fun run(out: PrintStream, err: PrintStream): Int {
        val settings = SettingsFile(file).read().getOrElse { errors ->
            errors.forEach(err::println)
            return ExitCode.USAGE
        }
        val secrets = NodeSecrets.read(settings.secrets).getOrElse { failure ->
            err.println(failure.message)
            return ExitCode.USAGE
        }
        serve(settings, secrets, out)
        return ExitCode.OK
    }

    private fun serve(settings: NodeSettings, secrets: NodeSecrets, out: PrintStream) {
        val node = Node(settings, secrets)
        val addresses = runBlocking { node.start() }
        out.println(JsonLines.encode(ReadyLine(settings.node, addresses.entry, addresses.admin)))
        out.flush()
        ShutdownSignal.await { runBlocking { node.stop() } }
    }
}

/** Printed by `serve` when the node is ready for callers; [entry] and [admin] are its addresses. */
@kotlinx.serialization.Serializable
internal data class ReadyLine(val node: String, val entry: String, val admin: String)
