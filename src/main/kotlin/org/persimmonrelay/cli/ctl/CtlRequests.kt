package org.persimmonrelay.cli.ctl

import io.ktor.http.HttpMethod
import io.ktor.http.encodeURLPathPart
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import org.persimmonrelay.admin.IssueRequest
import org.persimmonrelay.admin.LabelPatch
import org.persimmonrelay.catalog.ObjectKind
import java.io.File
import java.io.IOException

/** Converts the arguments of a command into the request to send. */
internal object CtlRequests {
    fun of(command: CommonArguments): CtlRequest = when (command) {
        is ApplyArguments -> apply(command)
        is GetArguments -> get(command)
        is DeleteArguments ->
            CtlRequest(HttpMethod.Delete, path(command.kind, command.name), ifMatch = command.ifVersion)
        is LabelArguments -> label(command)
        is KeyArguments -> key(command)
        is DrainArguments -> CtlRequest(
            method = HttpMethod.Post,
            path = "/servers/${command.name.encodeURLPathPart()}/drain",
            query = if (command.off) mapOf("off" to "true") else emptyMap(),
        )
        is StatusArguments -> status(command)
        else -> throw CtlUsageException("Unknown command.")
    }

    private fun apply(command: ApplyArguments) = CtlRequest(
        method = HttpMethod.Post,
        path = "/apply",
        query = if (command.dryRun) mapOf("dryRun" to "true") else emptyMap(),
        body = applyBody(command.file),
        ifMatch = command.ifVersion,
    )

    private fun applyBody(file: String): String {
        val content = try {
            Json.parseToJsonElement(File(file).readText())
        } catch (e: IOException) {
            throw CtlUsageException("$file can't be read: ${e.message}. Check the path and its permissions.", e)
        } catch (e: SerializationException) {
            throw CtlUsageException("$file is not valid JSON: ${e.message?.lineSequence()?.first()}. Correct it.", e)
        }
        return if (content is JsonArray) JsonObject(mapOf("objects" to content)).toString() else content.toString()
    }

    private fun get(command: GetArguments): CtlRequest {
        val name = command.name
        if (name != null) return CtlRequest(HttpMethod.Get, path(command.kind, name), responseKind = AnswerKind.OBJECT)
        val query = if (command.selector.isEmpty()) emptyMap() else mapOf("selector" to command.selector)
        return CtlRequest(HttpMethod.Get, "/${kind(command.kind)}", query, responseKind = AnswerKind.LIST)
    }

    private fun label(command: LabelArguments): CtlRequest {
        val (set, remove) = command.labels.partition { '=' in it }
        remove.firstOrNull { !it.endsWith('-') }?.let {
            throw CtlUsageException("\"$it\" is neither KEY=VALUE nor KEY-; write one of these.")
        }
        val patch = LabelPatch(
            set = set.associate { it.substringBefore('=') to it.substringAfter('=') },
            remove = remove.map { it.removeSuffix("-") },
        )
        val body = Json.encodeToString(LabelPatch.serializer(), patch)
        return CtlRequest(HttpMethod.Patch, path(command.kind, command.name) + "/labels", body = body)
    }

    private fun key(command: KeyArguments): CtlRequest {
        val path = "/keys/${command.name.encodeURLPathPart()}/${command.action}"
        return when (command.action) {
            KeyAction.withdraw -> {
                val query = if (command.now) mapOf("cut" to "true") else emptyMap()
                CtlRequest(HttpMethod.Post, path, query)
            }
            KeyAction.issue -> {
                val body = Json.encodeToString(IssueRequest.serializer(), IssueRequest(command.workspace))
                CtlRequest(HttpMethod.Post, path, body = body, responseKind = AnswerKind.ISSUED_KEY)
            }
        }
    }

    private fun status(command: StatusArguments): CtlRequest {
        val version = command.version ?: return CtlRequest(HttpMethod.Get, "/status", responseKind = AnswerKind.STATUS)
        return CtlRequest(HttpMethod.Get, "/changes/$version", responseKind = AnswerKind.CHANGE_RECORD)
    }

    private fun path(kind: String, name: String) = "/${kind(kind)}/${name.encodeURLPathPart()}"

    private fun kind(text: String): String = ObjectKind.of(text)?.plural ?: throw CtlUsageException(
        "\"$text\" is not a kind of object; use one of ${ObjectKind.entries.joinToString { it.plural }}.",
    )
}
