package org.persimmonrelay.entry

import io.ktor.client.HttpClient
import io.ktor.client.engine.java.Java
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
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import org.persimmonrelay.engine.EngineErrors
import java.io.IOException
import kotlin.time.Duration

/**
 * Calls plain services: one attempt, no redirects, answers of at most [maxAnswerBytes].
 *
 * Works over the JDK's HTTP client, which tells an answer that was cut short from a whole one; Ktor's CIO engine
 * does not.
 */
internal class ServiceClient(private val maxAnswerBytes: Long, connectTimeout: Duration) : AutoCloseable {
    private val http =
        HttpClient(Java) {
            expectSuccess = false
            followRedirects = false
            install(HttpTimeout) { connectTimeoutMillis = connectTimeout.inWholeMilliseconds }
        }

    suspend fun send(address: String, call: ServiceCall, timeout: Duration): ServiceEnd = try {
        withTimeoutOrNull(timeout) { exchange(address, call) }
            ?: ServiceEnd.Unknown("The service gave no answer within $timeout.")
    } catch (e: IOException) {
        if (EngineErrors.isBeforeSending(e)) {
            ServiceEnd.NotSent("No connection to the service: ${e.message}")
        } else {
            ServiceEnd.Unknown("The connection to the service broke: ${e.message}")
        }
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        ServiceEnd.Unknown("The connection to the service was closed: ${e.message}")
    }

    override fun close() {
        http.close()
    }

    private suspend fun exchange(address: String, call: ServiceCall): ServiceEnd =
        http.prepareRequest { fill(address, call) }.execute { response -> read(response) }

    private suspend fun read(response: HttpResponse): ServiceEnd {
        val channel = response.bodyAsChannel()
        val body = channel.readRemaining(maxAnswerBytes + 1).readByteArray()
        channel.closedCause?.let { throw it }
        if (body.size > maxAnswerBytes) {
            return ServiceEnd.Unknown("The service's answer exceeds $maxAnswerBytes bytes.")
        }
        return ServiceEnd.Answered(
            ServiceAnswer(
                response.status.value,
                HeaderPolicy.incoming(response.headers),
                response.headers[HttpHeaders.ContentType],
                body,
            ),
        )
    }

    private fun HttpRequestBuilder.fill(address: String, call: ServiceCall) {
        method = call.method
        url.takeFrom("http://$address${call.target}")
        headers { call.headers.forEach { (name, value) -> append(name, value) } }
        if (call.body.isNotEmpty()) setBody(ByteArrayContent(call.body, call.contentType?.let(ContentType::parse)))
    }
}
