package org.persimmonrelay.cli

import arrow.core.getOrElse
import org.kohsuke.args4j.Option
import org.persimmonrelay.adapter.PlatformNode
import org.persimmonrelay.adapter.Rehearsal
import sun.misc.Signal
import java.io.File
import java.io.PrintStream

/**
 * `relay [--settings FILE | --rehearse]`: runs a forwarding node on an external platform until SIGTERM or SIGINT, then
 * shuts it down gracefully. SIGHUP reloads the settings. With `--rehearse` it serves a few requests on loopback with
 * a simulated platform and exits.
 */
internal class RelayCommand : Command {
    @Option(
        name = "--settings",
        metaVar = "FILE",
        usage = "settings file written by the platform; default: the path in $SETTINGS_VARIABLE",
    )
    private var file: File? = null

    @Option(name = "--rehearse", usage = "serve a few requests on loopback, without the platform, and exit")
    private var rehearsal = false

    override fun run(out: PrintStream, err: PrintStream): Int {
        if (rehearsal) return rehearse(out)
        val path = file ?: System.getenv(SETTINGS_VARIABLE)?.let(::File)
        if (path == null) {
            err.println("No settings file: give --settings FILE or set $SETTINGS_VARIABLE.")
            return ExitCode.USAGE
        }
        val node = PlatformNode.of(path).getOrElse { message ->
            err.println(message)
            return ExitCode.USAGE
        }
        Signal.handle(Signal("HUP")) { node.reload() }
        node.start()
        ShutdownSignal.await({ node.grace }, node::stop)
        return ExitCode.OK
    }

    private fun rehearse(out: PrintStream): Int {
        val served = Rehearsal(REHEARSED_REQUESTS).run()
        out.println("Served $served of $REHEARSED_REQUESTS requests.")
        return if (served == REHEARSED_REQUESTS) ExitCode.OK else ExitCode.FAILED
    }

    private companion object {
        const val REHEARSED_REQUESTS = 20
        const val SETTINGS_VARIABLE = "PERSIMMONRELAY_NODE_FILE"
    }
}
