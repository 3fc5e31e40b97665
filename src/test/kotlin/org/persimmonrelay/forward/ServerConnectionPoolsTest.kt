package org.persimmonrelay.forward

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.BackendServers
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.http.EventLoopThread
import org.persimmonrelay.http.HttpConnector
import org.persimmonrelay.http.ServerAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Many nodes share the connections of a server, and the balancer gives some of them more callers than others. */
class ServerConnectionPoolsTest {
    private val thread = EventLoopThread("test-pools")

    @Test
    fun `a node uses more than its share while the server is lightly used, and its share when it is not`() =
        ScriptedServer { _, _ -> }.use { listening ->
            val server = BackendServers.server("s").copy(address = ServerAddress("127.0.0.1", listening.port))

            assertEquals(50, opened(server, running = 10))
            assertEquals(8, opened(server, running = 150))
            thread.close()
        }

    private fun opened(server: BackendServer, running: Int): Int = runBlocking {
        withContext(thread.dispatcher) {
            val pools = ServerConnectionPools(HttpConnector(thread, SystemClock), { 20 }, { running })
            var count = 0
            while (count < 200) {
                val pool = pools.poolFor(server, 200, Moment.ZERO) ?: break
                pool.acquire(Moment.ZERO, 5.seconds)
                count++
            }
            count
        }
    }
}
