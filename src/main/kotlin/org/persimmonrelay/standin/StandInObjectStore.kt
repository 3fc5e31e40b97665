package org.persimmonrelay.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.persimmonrelay.platform.ObjectStore
import org.persimmonrelay.platform.StoreUnavailable
import java.util.TreeMap
import kotlin.time.Duration

/** An in-memory object store. */
public class StandInObjectStore(public val faults: Faults = Faults()) : ObjectStore {
    private val objects = TreeMap<String, ByteArray>()

    override suspend fun get(name: String): Either<StoreUnavailable, ByteArray?> = runWithFaults { objects[name] }

    override suspend fun put(name: String, bytes: ByteArray): Either<StoreUnavailable, Unit> =
        runWithFaults { objects[name] = bytes }

    override suspend fun list(prefix: String): Either<StoreUnavailable, List<String>> =
        runWithFaults { objects.tailMap(prefix).keys.takeWhile { it.startsWith(prefix) } }

    override suspend fun delete(name: String): Either<StoreUnavailable, Unit> = runWithFaults {
        objects.remove(name)
        Unit
    }

    private suspend fun <T> runWithFaults(effect: () -> T): Either<StoreUnavailable, T> {
        if (faults.delay > Duration.ZERO) delay(faults.delay)
        if (faults.down) return StoreUnavailable("The object store is down; try again later.").left()
        val result = synchronized(objects) { effect() }
        if (faults.takeLostResponse()) return StoreUnavailable("The answer was lost.").left()
        return result.right()
    }
}
