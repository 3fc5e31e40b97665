package org.persimmonrelay.membership

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import com.google.common.hash.Hashing
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import java.util.UUID
import kotlin.random.Random

/**
 * The address at which a node was last started. [generation] increases with each start under its name.
 *
 * @property present false after the node has left.
 */
@Serializable
public data class Seed(val address: PeerAddress, val region: Region, val generation: Long, val present: Boolean)

/**
 * Seed nodes in the table: one row for each node, written when it starts and when it leaves. A joining node reads a
 * few rows from a random position and gets all other members from the nodes listed there.
 */
public class SeedRepository(private val table: TableService, private val random: Random) {
    /** Registers this process under its node's name and returns its generation. Idempotent. */
    public suspend fun register(address: PeerAddress, region: Region): Either<StoreUnavailable, Long> = either {
        val key = keyOf(region, address.node)
        var generation: Long? = null
        var attempts = 0
        while (generation == null) {
            ensure(attempts++ < ATTEMPTS) {
                StoreUnavailable("The row $key kept changing; check whether two nodes have the same name.")
            }
            generation = tryRegister(key, address, region).bind()
        }
        generation
    }

    /**
     * Sets and returns a generation above [seenGeneration] if the row still belongs to this process. Returns null when
     * another process owns the row or changed it meanwhile.
     */
    public suspend fun renewGeneration(
        address: PeerAddress,
        region: Region,
        seenGeneration: Long,
    ): Either<StoreUnavailable, Long?> = either {
        val key = keyOf(region, address.node)
        val row = rowOf(key).bind()
        val known = row?.let(::seedOf)
        if (known != null && known.address.incarnation != address.incarnation) return@either null
        val next = Seed(address, region, maxOf(seenGeneration, known?.generation ?: 0) + 1, present = true)
        if (write(key, row, next).bind()) next.generation else null
    }

    /** Marks the row of this process as left. */
    public suspend fun deregister(address: PeerAddress, region: Region): Either<StoreUnavailable, Unit> = either {
        val key = keyOf(region, address.node)
        val row = rowOf(key).bind()
        val known = row?.let(::seedOf)
        if (known?.address?.incarnation == address.incarnation) write(key, row, known.copy(present = false)).bind()
    }

    /** A random sample of nodes that have not left: first nodes of [ownRegion], then of any region. */
    public suspend fun sample(ownRegion: Region): Either<StoreUnavailable, List<Seed>> = either {
        val startKey = Hashing.murmur3_32_fixed().hashInt(random.nextInt()).toString()
        val sameRegion = scan("$PREFIX${ownRegion.value}/", startKey).bind()
        val anyRegion = scan(PREFIX, Char('a'.code + random.nextInt(LETTERS)).toString()).bind()
        (sameRegion + anyRegion).map(::seedOf).filter { it.present }.distinctBy { it.address.node }
    }

    private suspend fun tryRegister(
        key: String,
        address: PeerAddress,
        region: Region,
    ): Either<StoreUnavailable, Long?> = either {
        val row = rowOf(key).bind()
        val known = row?.let(::seedOf)
        if (known != null && known.address == address && known.present) return@either known.generation
        val next = Seed(address, region, (known?.generation ?: 0) + 1, present = true)
        if (write(key, row, next).bind()) next.generation else null
    }

    private suspend fun rowOf(key: String): Either<StoreUnavailable, Row?> =
        table.read(listOf(key)).map { it.firstOrNull() }

    private suspend fun scan(prefix: String, from: String): Either<StoreUnavailable, List<Row>> = either {
        val later = table.scan(prefix, prefix + from, SAMPLE).bind()
        if (later.size == SAMPLE) later else later + table.scan(prefix, limit = SAMPLE - later.size).bind()
    }

    private suspend fun write(key: String, row: Row?, seed: Seed): Either<StoreUnavailable, Boolean> {
        val condition = if (row == null) Condition.Absent(key) else Condition.VersionIs(key, row.version)
        val operation = OperationId(UUID(random.nextLong(), random.nextLong()).toString())
        val put = Write.Put(key, Json.encodeToString(Seed.serializer(), seed))
        return table.commit(Transaction(operation, listOf(condition), listOf(put))).map { it == CommitResult.Committed }
    }

    private fun seedOf(row: Row): Seed = Json.decodeFromString(Seed.serializer(), row.value)

    private fun keyOf(region: Region, node: NodeId): String {
        val spread = Hashing.murmur3_32_fixed().hashUnencodedChars(node.value)
        return "$PREFIX${region.value}/$spread/${node.value}"
    }

    private companion object {
        const val PREFIX = "seed/"
        const val ATTEMPTS = 3
        const val SAMPLE = 5
        const val LETTERS = 26
    }
}
