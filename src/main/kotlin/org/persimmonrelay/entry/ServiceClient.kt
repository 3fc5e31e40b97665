package org.persimmonrelay.entry

import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.headers
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.content.ByteArrayContent
import io.ktor.http.takeFrom
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.engine.EngineErrors
import org.persimmonrelay.http.StrictHttpEngine
import org.persimmonrelay.http.readBody
import java.io.IOException
import kotlin.time.Duration

/**
 * Client for plain services: one attempt per request, no redirects, responses of at most [maxResponseBytes].
 *
 * An invalid or truncated response gives an unknown outcome.
 */
internal class ServiceClient(private val maxResponseBytes: Long, connectTimeout: Duration, clock: Clock) :
    AutoCloseable {
    private val engine = StrictHttpEngine(clock, "service-client")
    private val http =
        HttpClient(engine) {
            expectSuccess = false
            followRedirects = false
            install(HttpTimeout) { connectTimeoutMillis = connectTimeout.inWholeMilliseconds }
        }

    suspend fun send(address: String, request: ServiceRequest, timeout: Duration): ServiceCallOutcome = try {
        withTimeoutOrNull(timeout) { exchange(address, request) }
            ?: ServiceCallOutcome.Unknown("The service gave no answer within $timeout.")
    } catch (e: IOException) {
        if (EngineErrors.isConnectFailure(e)) {
            ServiceCallOutcome.NotSent("No connection to the service: ${e.message}")
        } else {
            ServiceCallOutcome.Unknown("The connection to the service broke: ${e.message}")
        }
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        ServiceCallOutcome.Unknown("The connection to the service was closed: ${e.message}")
    }

    override fun close() {
        http.close()
        engine.close()
    }

    private suspend fun exchange(address: String, request: ServiceRequest): ServiceCallOutcome =
        http.prepareRequest { populate(address, request) }.execute { response -> readResponse(response) }

    private suspend fun readResponse(response: HttpResponse): ServiceCallOutcome {
        val body = response.bodyAsChannel().readBody(maxResponseBytes + 1)
        if (body.size > maxResponseBytes) {
            return ServiceCallOutcome.Unknown("The service's answer exceeds $maxResponseBytes bytes.")
        }
        return ServiceCallOutcome.Answered(
            ServiceResponse(
                response.status.value,
                HeaderPolicy.responseHeaders(response.headers),
                response.headers[HttpHeaders.ContentType],
                body,
            ),
        )
    }

    private fun HttpRequestBuilder.populate(address: String, from: ServiceRequest) {
        method = from.method
        url.takeFrom("http://$address${from.target}")
        headers { from.headers.forEach { (name, value) -> append(name, value) } }
        if (from.body.isNotEmpty()) setBody(ByteArrayContent(from.body, from.contentType?.let(ContentType::parse)))
    }
}
