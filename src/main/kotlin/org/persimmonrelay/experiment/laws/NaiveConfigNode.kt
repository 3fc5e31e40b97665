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
 * Naive configuration for comparison: the whole configuration is one row that is read, modified and written back
 * without a condition. A lost response counts as a failure, a pushed configuration is applied without comparing
 * versions, and keys are checked against the local copy however old it is.
 */
internal class NaiveConfigNode(private val dependencies: ConfigNodeDependencies) : ConfigNode {
    private var current = NaiveContent()

    override var ready: Boolean = false
        private set
    override val version: Long
        get() = current.version
    override val names: Set<String>
        get() = current.names

    override fun start() {
        dependencies.network.serve(PUSH) { pushed ->
            current = Json.decodeFromString(pushed)
            ready = true
            current.version
        }
        dependencies.process.scope.launch {
            while (true) {
                poll()
                delay(POLL_INTERVAL)
            }
        }
    }

    override suspend fun put(name: String): ChangeOutcome = change { it.copy(names = it.names + name) }

    override suspend fun withdraw(name: String): ChangeOutcome = change { it.copy(withdrawn = it.withdrawn + name) }

    override fun admits(name: String): Boolean = name in current.names && name !in current.withdrawn

    private suspend fun poll() {
        val rows = dependencies.table.read(listOf(ROW)).getOrNull() ?: return
        rows.firstOrNull()?.let { current = Json.decodeFromString(it.value) }
        ready = true
    }

    private suspend fun change(edit: (NaiveContent) -> NaiveContent): ChangeOutcome {
        val rows = dependencies.table.read(listOf(ROW)).getOrNull() ?: return ChangeOutcome.REFUSED
        val before = rows.firstOrNull()?.let { Json.decodeFromString<NaiveContent>(it.value) } ?: NaiveContent()
        val after = edit(before).copy(version = before.version + 1)
        val value = Json.encodeToString(after)
        val operation = OperationId(dependencies.random.nextLong().toString())
        dependencies.table.commit(Transaction(operation, emptyList(), listOf(Write.Put(ROW, value)))).getOrNull()
            ?: return ChangeOutcome.REFUSED
        current = after
        push(value)
        return ChangeOutcome.CONFIRMED
    }

    private fun push(value: String) {
        val members = dependencies.members.value
        members.members.filter { it != members.self }.forEach { member ->
            dependencies.process.scope.launch { dependencies.network.call(member.address, PUSH, value, PUSH_TIMEOUT) }
        }
    }

    private companion object {
        const val ROW = "config"
        val POLL_INTERVAL = 2.seconds
        val PUSH_TIMEOUT = 1.seconds
        val PUSH = PeerMethod("naive.Push", String.serializer(), Long.serializer())
    }
}

/** Content of the single configuration row. */
@Serializable
internal data class NaiveContent(
    val version: Long = 0,
    val names: Set<String> = emptySet(),
    val withdrawn: Set<String> = emptySet(),
)
