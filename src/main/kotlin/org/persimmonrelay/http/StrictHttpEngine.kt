package org.persimmonrelay.http

import io.ktor.client.engine.HttpClientEngineBase
import io.ktor.client.engine.HttpClientEngineConfig
import io.ktor.client.engine.callContext
import io.ktor.client.engine.mergeHeaders
import io.ktor.client.plugins.HttpTimeoutCapability
import io.ktor.client.request.HttpRequestData
import io.ktor.client.request.HttpResponseData
import io.ktor.http.Headers
import io.ktor.http.HttpProtocolVersion
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.http.hostWithPortIfSpecified
import io.ktor.http.isSecure
import io.ktor.util.date.GMTDate
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import io.ktor.utils.io.writeFully
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.persimmonrelay.clock.Clock
import java.io.IOException
import java.net.ConnectException
import java.net.InetAddress
import java.net.UnknownHostException
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Engine for Ktor's client that sends HTTP/1.1 requests with a body in memory over [HttpConnection]s. An invalid or
 * truncated response is an [IOException], in the call or while its body is read. A call whose connection could not be
 * opened fails with a [ConnectException]. Servers with `https` addresses need a certificate that [tls] trusts.
 */
public class StrictHttpEngine(
    private val clock: Clock,
    threadName: String,
    tls: () -> SslContext = { SslContextBuilder.forClient().build() },
) : HttpClientEngineBase("strict") {
    private val thread = EventLoopThread(threadName)
    private val sslContext by lazy(tls)
    private val pools = HashMap<Endpoint, ConnectionPool>()

    override val config: HttpClientEngineConfig = HttpClientEngineConfig()
    override val supportedCapabilities: Set<HttpTimeoutCapability> = setOf(HttpTimeoutCapability)

    @InternalAPI
    override suspend fun execute(data: HttpRequestData): HttpResponseData {
        val context = callContext()
        val url = data.url
        val address = ServerAddress(resolve(url.host), url.port)
        val endpoint = Endpoint(address, tlsName = url.host.takeIf { url.protocol.isSecure() })
        return withContext(thread.dispatcher) { Call(data, pool(endpoint), context).execute() }
    }

    private fun pool(endpoint: Endpoint): ConnectionPool = pools.getOrPut(endpoint) {
        val tls = endpoint.tlsName?.let { TlsServer(sslContext, it) }
        ConnectionPool(HttpConnector(thread, clock, tls), endpoint.address)
    }

    /** The address of [host]; a look-up would block the engine's thread. */
    private suspend fun resolve(host: String): String = withContext(Dispatchers.IO) {
        try {
            InetAddress.getByName(host).hostAddress
        } catch (e: UnknownHostException) {
            throw ConnectException("Host $host is unknown.").initCause(e)
        }
    }

    override fun close() {
        super.close()
        thread.close()
    }

    /** A server's address, and the name in its certificate if connections to it are encrypted. */
    private data class Endpoint(val address: ServerAddress, val tlsName: String?)

    /** One call over a connection of [pool]. Confined to the engine's thread. */
    @OptIn(InternalAPI::class)
    private inner class Call(
        private val data: HttpRequestData,
        private val pool: ConnectionPool,
        private val context: CoroutineContext,
    ) {
        suspend fun execute(): HttpResponseData {
            val requestTime = GMTDate()
            val connection = connect()
            var isReceiving = false
            try {
                connection.send(OutgoingRequest(data.method.value, data.url.encodedPathAndQuery, headers(), body()))
                val head = receiveHead(connection)
                val headers = headers(head)
                isReceiving = true
                return HttpResponseData(
                    HttpStatusCode.fromValue(head.status),
                    requestTime,
                    headers,
                    HttpProtocolVersion.HTTP_1_1,
                    receiveBody(connection, head),
                    context,
                )
            } finally {
                if (!isReceiving) release(connection)
            }
        }

        private suspend fun connect(): HttpConnection = pool.acquire(clock.now(), connectTimeout()).fold(
            { throw ConnectException(it.message) },
            { it.connection },
        )

        private fun connectTimeout(): Duration =
            data.getCapabilityOrNull(HttpTimeoutCapability)?.connectTimeoutMillis?.milliseconds ?: CONNECT_TIMEOUT

        private fun headers(): HttpHeaders {
            val headers = DefaultHttpHeaders()
            mergeHeaders(data.headers, data.body) { name, value -> headers.add(name, value) }
            headers.set("Host", data.url.hostWithPortIfSpecified)
            headers.set("Content-Length", body().size)
            return headers
        }

        private fun body(): ByteArray = when (val content = data.body) {
            is OutgoingContent.ByteArrayContent -> content.bytes()
            is OutgoingContent.NoContent -> ByteArray(0)
            else -> throw IllegalArgumentException("A body of type ${content::class.simpleName} is not supported.")
        }

        private suspend fun receiveHead(connection: HttpConnection): ResponsePart.Head =
            when (val part = connection.receive()) {
                is ResponsePart.Head -> part
                is ResponsePart.Broken -> throw IOException(part.reason)
                is ResponsePart.Data, is ResponsePart.End -> throw IOException("The response has no head.")
            }

        private fun headers(head: ResponsePart.Head): Headers = try {
            Headers.build { head.headers.forEach { append(it.key, it.value) } }
        } catch (e: IllegalArgumentException) {
            throw IOException("The response has an invalid field: ${e.message}", e)
        }

        /** The body of the response. Its connection is released when it ends, or when the call does. */
        private fun receiveBody(connection: HttpConnection, head: ResponsePart.Head): ByteReadChannel {
            val body = ByteChannel(autoFlush = true)
            // Started at once, so that the connection is released even if the call has ended already.
            val receiving = thread.scope.launch(start = CoroutineStart.UNDISPATCHED) {
                try {
                    val failure = copy(connection, head, body)
                    if (failure == null) body.flushAndClose() else body.cancel(IOException(failure))
                } catch (_: IOException) {
                    // The reader needs no more of the body.
                } finally {
                    release(connection)
                }
            }
            context.job.invokeOnCompletion { receiving.cancel() }
            return body
        }

        /** Copies the body to [to]; why it is incomplete, or null. */
        private suspend fun copy(connection: HttpConnection, head: ResponsePart.Head, to: ByteChannel): String? {
            while (true) {
                when (val part = connection.receive()) {
                    is ResponsePart.Data -> to.writeFully(part.bytes)
                    is ResponsePart.Broken -> return part.reason
                    is ResponsePart.Head -> return "A second response began before the first was complete."
                    is ResponsePart.End -> {
                        connection.responseCompleted(head.headers, clock.now())
                        return null
                    }
                }
            }
        }

        private fun release(connection: HttpConnection) {
            if (!connection.isReusable(clock.now())) connection.close()
            pool.release(connection, clock.now())
        }
    }

    private companion object {
        val CONNECT_TIMEOUT = 5.seconds
    }
}
