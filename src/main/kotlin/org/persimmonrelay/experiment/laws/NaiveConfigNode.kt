package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.peer.PeerMethod
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import kotlin.time.Duration.Companion.seconds

/**
 * The naive version: the whole configuration is one row, read, modified and written back without a condition. A
 * lost answer counts as a failure, what is pushed is taken as it comes, and keys are served from what is known.
 */
internal class NaiveConfigNode(private val parts: NodeParts) : ConfigNode {
    private var content = NaiveContent()

    override var ready: Boolean = false
        private set
    override val version: Long
        get() = content.version
    override val names: Set<String>
        get() = content.names

    override fun start() {
        parts.network.serve(PUSH) { pushed ->
            content = Json.decodeFromString(pushed)
            ready = true
            content.version
        }
        parts.process.scope.launch {
            while (true) {
                poll()
                delay(POLL_EVERY)
            }
        }
    }

    override suspend fun put(name: String): PutEnd = change { it.copy(names = it.names + name) }

    override suspend fun withdraw(name: String): PutEnd = change { it.copy(withdrawn = it.withdrawn + name) }

    override fun admits(name: String): Boolean = name in content.names && name !in content.withdrawn

    private suspend fun poll() {
        val rows = parts.table.read(listOf(ROW)).getOrNull() ?: return
        rows.firstOrNull()?.let { content = Json.decodeFromString(it.value) }
        ready = true
    }

    private suspend fun change(edit: (NaiveContent) -> NaiveContent): PutEnd {
        val rows = parts.table.read(listOf(ROW)).getOrNull() ?: return PutEnd.REFUSED
        val before = rows.firstOrNull()?.let { Json.decodeFromString<NaiveContent>(it.value) } ?: NaiveContent()
        val after = edit(before).copy(version = before.version + 1)
        val value = Json.encodeToString(after)
        val operation = OperationId(parts.random.nextLong().toString())
        parts.table.commit(Transaction(operation, emptyList(), listOf(Write.Put(ROW, value)))).getOrNull()
            ?: return PutEnd.REFUSED
        content = after
        push(value)
        return PutEnd.CONFIRMED
    }

    private fun push(value: String) {
        val members = parts.members.value
        members.members.filter { it != members.self }.forEach { member ->
            parts.process.scope.launch { parts.network.call(member.address, PUSH, value, PUSH_TIMEOUT) }
        }
    }

    private companion object {
        const val ROW = "config"
        val POLL_EVERY = 2.seconds
        val PUSH_TIMEOUT = 1.seconds
        val PUSH = PeerMethod("naive.Push", String.serializer(), Long.serializer())
    }
}

/** All of the naive configuration. */
@Serializable
internal data class NaiveContent(
    val version: Long = 0,
    val names: Set<String> = emptySet(),
    val withdrawn: Set<String> = emptySet(),
)
