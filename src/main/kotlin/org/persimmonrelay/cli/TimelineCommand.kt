package org.persimmonrelay.cli

import io.ktor.http.HttpMethod
import io.ktor.http.isSuccess
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.Option
import org.persimmonrelay.cli.ctl.CtlClient
import org.persimmonrelay.cli.ctl.CtlRequest
import org.persimmonrelay.cli.ctl.CtlResult
import java.io.File
import java.io.PrintStream

/** `timeline`: shows the events of all nodes in one sequence, as text or as an HTML page. */
internal class TimelineCommand : Command {
    @Option(name = "--server", metaVar = "URL", usage = "administration address of any node")
    private var server: String = "http://127.0.0.1:8081"

    @Option(name = "--key-file", metaVar = "FILE", usage = "file with the operator's key; default: PERSIMMONRELAY_KEY")
    private var keyFile: File? = null

    @Option(name = "--html", metaVar = "FILE", usage = "write an HTML page to this file instead of printing text")
    private var html: File? = null

    override fun run(out: PrintStream, err: PrintStream): Int {
        val key = keyFile?.readText()?.trim() ?: System.getenv(KEY_VARIABLE)
        if (key == null) {
            err.println("No operator's key: set $KEY_VARIABLE or give --key-file FILE.")
            return ExitCode.USAGE
        }
        val path = if (html == null) "/timeline" else "/timeline.html"
        val result = runBlocking { CtlClient(server, key).use { it.send(CtlRequest(HttpMethod.Get, path)) } }
        return writeTimeline(result, out, err)
    }

    private fun writeTimeline(result: CtlResult, out: PrintStream, err: PrintStream): Int {
        if (result !is CtlResult.Responded || !result.status.isSuccess()) {
            err.println("Could not get the timeline from $server: $result. Check the address and the key.")
            return ExitCode.FAILED
        }
        val file = html
        if (file == null) out.println(result.body) else file.writeText(result.body)
        return ExitCode.OK
    }

    private companion object {
        const val KEY_VARIABLE = "PERSIMMONRELAY_KEY"
    }
}
