package org.persimmonrelay.cli.ctl

import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.io.File
import java.io.IOException
import java.io.PrintStream

/** The `ctl` command: reads and changes the configuration through the administration API of a node. */
public class CtlCommand(private val environment: Map<String, String> = System.getenv()) {
    /** Runs the command in [args]; returns a code of [CtlExit]. */
    public fun run(args: List<String>, out: PrintStream, err: PrintStream): Int {
        if (args.any { it in HELP_OPTIONS }) {
            out.println(USAGE)
            return CtlExit.OK.code
        }
        val arguments = CtlArguments()
        try {
            CmdLineParser(arguments).parseArgument(args)
        } catch (e: CmdLineException) {
            err.println(e.message)
            err.println(USAGE)
            return CtlExit.USAGE.code
        }
        return try {
            execute(arguments, out, err).code
        } catch (e: CtlUsageException) {
            err.println(e.message)
            CtlExit.USAGE.code
        }
    }

    private fun execute(arguments: CtlArguments, out: PrintStream, err: PrintStream): CtlExit {
        val command = checkNotNull(arguments.command) { "args4j accepted a command line without a command." }
        val request = CtlRequests.of(command)
        val server = command.server ?: arguments.server ?: DEFAULT_SERVER
        val key = key(command.keyFile ?: arguments.keyFile)
        val result = runBlocking { CtlClient(server, key).use { it.send(request) } }
        val printer = if (command.json || arguments.json) CtlJsonPrinter(out, err) else CtlTextPrinter(out, err)
        return CtlReporter(printer).report(request, result)
    }

    private fun key(file: String?): String {
        if (file == null) {
            return environment[KEY_VARIABLE]?.trim()
                ?: throw CtlUsageException("No operator's key: set $KEY_VARIABLE or give --key-file FILE.")
        }
        return try {
            File(file).readText().trim()
        } catch (e: IOException) {
            throw CtlUsageException("The key file can't be read: ${e.message}. Check the path and its permissions.", e)
        }
    }

    private companion object {
        const val DEFAULT_SERVER = "http://127.0.0.1:8081"
        val HELP_OPTIONS = setOf("--help", "-h")
        const val KEY_VARIABLE = "PERSIMMONRELAY_KEY"
        val USAGE = """
            Usage: persimmonrelay ctl COMMAND [--server URL] [--key-file FILE] [--json]
              apply -f FILE [--dry-run] [--if-version N]
              get KIND [NAME] [-l SELECTOR]
              delete KIND NAME [--if-version N]
              label KIND NAME KEY=VALUE KEY- …
              key issue NAME [--workspace NAME]
              key withdraw NAME [--now]
              drain SERVER [--off]
              status [--version N]
            KIND: workspaces, keys, deployments, pools, servers, services, limits.
            The key comes from --key-file or $KEY_VARIABLE.
            Exit: 0 ok, 2 usage, 3 conflict, 4 not found, 5 unavailable, 6 outcome unknown, 7 refused.
        """.trimIndent()
    }
}

/** The command line is invalid, or a file named in it can't be read; the message says how to correct this. */
internal class CtlUsageException(message: String, cause: Throwable? = null) : Exception(message, cause)
