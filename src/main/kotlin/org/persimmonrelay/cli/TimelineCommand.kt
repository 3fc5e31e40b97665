package org.persimmonrelay.cli

import io.ktor.http.HttpMethod
import io.ktor.http.isSuccess
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.Option
import org.persimmonrelay.cli.ctl.CtlAnswer
import org.persimmonrelay.cli.ctl.CtlClient
import org.persimmonrelay.cli.ctl.CtlRequest
import java.io.File
import java.io.PrintStream

/** `timeline`: the events of all nodes in one order, as text or as one HTML page. */
internal class TimelineCommand : Command {
    @Option(name = "--server", metaVar = "URL", usage = "administration address of any node")
    private var server: String = "http://127.0.0.1:8081"

    @Option(name = "--key-file", metaVar = "FILE", usage = "operator's key; else PERSIMMONRELAY_KEY")
    private var keyFile: File? = null

    @Option(name = "--html", metaVar = "FILE", usage = "write one HTML page there instead of text to the terminal")
    private var html: File? = null

    override fun run(out: PrintStream, err: PrintStream): Int {
        val key = keyFile?.readText()?.trim() ?: System.getenv(KEY_VARIABLE)
        if (key == null) {
            err.println("No operator's key: set $KEY_VARIABLE or give --key-file FILE.")
            return ExitCode.USAGE
        }
        val path = if (html == null) "/timeline" else "/timeline.html"
        val answer = runBlocking { CtlClient(server, key).use { it.send(CtlRequest(HttpMethod.Get, path)) } }
        return show(answer, out, err)
    }

    private fun show(answer: CtlAnswer, out: PrintStream, err: PrintStream): Int {
        if (answer !is CtlAnswer.Answered || !answer.status.isSuccess()) {
            err.println("No time line from $server: $answer. Check the address and the key.")
            return ExitCode.FAILED
        }
        val file = html
        if (file == null) out.println(answer.body) else file.writeText(answer.body)
        return ExitCode.OK
    }

    private companion object {
        const val KEY_VARIABLE = "PERSIMMONRELAY_KEY"
    }
}
