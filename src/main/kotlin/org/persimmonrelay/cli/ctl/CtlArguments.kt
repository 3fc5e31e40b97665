/*
 * Arguments of `ctl`, one class per command. The common options are accepted before and after the name of the command.
 */
package org.persimmonrelay.cli.ctl

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands

/** Options that all commands accept. */
internal open class CommonArguments {
    @field:Option(name = "--server", metaVar = "URL", usage = "base URL of a node's administration API")
    var server: String? = null

    @field:Option(name = "--key-file", metaVar = "FILE", usage = "file with the operator's key")
    var keyFile: String? = null

    @field:Option(name = "--json", usage = "print the response as JSON")
    var json: Boolean = false
}

/** The complete command line. */
internal class CtlArguments : CommonArguments() {
    @field:Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler::class)
    @field:SubCommands(
        SubCommand(name = "apply", impl = ApplyArguments::class),
        SubCommand(name = "get", impl = GetArguments::class),
        SubCommand(name = "delete", impl = DeleteArguments::class),
        SubCommand(name = "label", impl = LabelArguments::class),
        SubCommand(name = "key", impl = KeyArguments::class),
        SubCommand(name = "drain", impl = DrainArguments::class),
        SubCommand(name = "status", impl = StatusArguments::class),
    )
    var command: CommonArguments? = null
}

/** `apply -f FILE` */
internal class ApplyArguments : CommonArguments() {
    @field:Option(name = "-f", aliases = ["--file"], required = true, metaVar = "FILE", usage = "JSON to apply")
    var file: String = ""

    @field:Option(name = "--dry-run", usage = "validate without storing anything")
    var dryRun: Boolean = false

    @field:Option(name = "--if-version", metaVar = "N", usage = "only if the configuration is still at version N")
    var ifVersion: Long? = null
}

/** `get KIND [NAME]` */
internal class GetArguments : CommonArguments() {
    @field:Argument(index = 0, required = true, metaVar = "KIND", usage = "such as workspaces or pools")
    var kind: String = ""

    @field:Argument(index = 1, metaVar = "NAME", usage = "name of one object")
    var name: String? = null

    @field:Option(name = "-l", aliases = ["--selector"], metaVar = "SELECTOR", usage = "only objects with these labels")
    var selector: String = ""
}

/** `delete KIND NAME` */
internal class DeleteArguments : CommonArguments() {
    @field:Argument(index = 0, required = true, metaVar = "KIND", usage = "such as workspaces or pools")
    var kind: String = ""

    @field:Argument(index = 1, required = true, metaVar = "NAME", usage = "the object")
    var name: String = ""

    @field:Option(name = "--if-version", metaVar = "N", usage = "only if the object was last written by version N")
    var ifVersion: Long? = null
}

/** `label KIND NAME key=value key-` */
internal class LabelArguments : CommonArguments() {
    @field:Argument(index = 0, required = true, metaVar = "KIND", usage = "such as servers or pools")
    var kind: String = ""

    @field:Argument(index = 1, required = true, metaVar = "NAME", usage = "the object")
    var name: String = ""

    @field:Argument(index = 2, required = true, multiValued = true, metaVar = "KEY=VALUE|KEY-", usage = "set or remove")
    var labels: MutableList<String> = mutableListOf()
}

/** `key issue NAME` and `key withdraw NAME` */
internal class KeyArguments : CommonArguments() {
    @field:Argument(index = 0, required = true, metaVar = "ACTION", usage = "issue or withdraw")
    var action: KeyAction = KeyAction.issue

    @field:Argument(index = 1, required = true, metaVar = "NAME", usage = "the key's name")
    var name: String = ""

    @field:Option(name = "--workspace", metaVar = "NAME", usage = "issue: its workspace; without it an operator's key")
    var workspace: String? = null

    @field:Option(name = "--now", usage = "withdraw: also abort running requests with this key")
    var now: Boolean = false
}

/** Actions on a key; the constants are the words of the command line. */
@Suppress("EnumEntryName", "EnumNaming", "ktlint:standard:enum-entry-name-case")
internal enum class KeyAction { issue, withdraw }

/** `drain SERVER` */
internal class DrainArguments : CommonArguments() {
    @field:Argument(index = 0, required = true, metaVar = "SERVER", usage = "the backend server")
    var name: String = ""

    @field:Option(name = "--off", usage = "end the drain: send new requests to the server again")
    var off: Boolean = false
}

/** `status` */
internal class StatusArguments : CommonArguments() {
    @field:Option(name = "--version", metaVar = "N", usage = "show what version N changed, and by which operation")
    var version: Long? = null
}
