package org.persimmonrelay.platform.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.http.StrictHttpEngine
import org.persimmonrelay.platform.StoreUnavailable
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Client of the platform's HTTP interfaces.
 *
 * A call that fails, exceeds [timeout] or gets an error response returns [StoreUnavailable]: the caller can't know
 * whether a write took effect.
 */
public class PlatformHttpClient(clock: Clock, private val timeout: Duration = 3.seconds) : AutoCloseable {
    private val engine = StrictHttpEngine(clock, "platform-client")
    private val client =
        HttpClient(engine) {
            expectSuccess = false
            install(HttpTimeout) { requestTimeoutMillis = timeout.inWholeMilliseconds }
        }

    internal suspend fun <Q, A> post(
        url: String,
        body: Q,
        serializer: SerializationStrategy<Q>,
        deserializer: DeserializationStrategy<A>,
    ): Either<StoreUnavailable, A> = requireSuccess(url) {
        method = HttpMethod.Post
        contentType(ContentType.Application.Json)
        setBody(JSON.encodeToString(serializer, body))
    }.fold({ it.left() }) { decode(it, deserializer) }

    internal suspend fun <A> get(url: String, deserializer: DeserializationStrategy<A>): Either<StoreUnavailable, A> =
        requireSuccess(url) {}.fold({ it.left() }) { decode(it, deserializer) }

    /** The response body, or null when the status is 404. */
    internal suspend fun getBytes(url: String): Either<StoreUnavailable, ByteArray?> =
        send(url) {}.fold({ it.left() }) { response ->
            when {
                response.status.value == NOT_FOUND -> null.right()
                response.status.isSuccess() -> response.bodyAsBytes().right()
                else -> unexpectedStatus(url, response).left()
            }
        }

    internal suspend fun putBytes(url: String, bytes: ByteArray): Either<StoreUnavailable, Unit> = requireSuccess(url) {
        method = HttpMethod.Put
        setBody(bytes)
    }.map { }

    internal suspend fun delete(url: String): Either<StoreUnavailable, Unit> =
        requireSuccess(url) { method = HttpMethod.Delete }.map { }

    override fun close() {
        client.close()
        engine.close()
    }

    private suspend fun requireSuccess(
        url: String,
        configure: HttpRequestBuilder.() -> Unit,
    ): Either<StoreUnavailable, HttpResponse> = send(url, configure).fold({ it.left() }) { response ->
        if (response.status.isSuccess()) response.right() else unexpectedStatus(url, response).left()
    }

    private suspend fun send(
        url: String,
        configure: HttpRequestBuilder.() -> Unit,
    ): Either<StoreUnavailable, HttpResponse> = try {
        client
            .request {
                url(url)
                configure()
            }.right()
    } catch (e: IOException) {
        StoreUnavailable("No answer from $url (${e.message}); check the platform section of the settings.").left()
    }

    private suspend fun <A> decode(
        response: HttpResponse,
        deserializer: DeserializationStrategy<A>,
    ): Either<StoreUnavailable, A> = try {
        JSON.decodeFromString(deserializer, response.bodyAsText()).right()
    } catch (e: CancellationException) {
        throw e
    } catch (e: IllegalArgumentException) {
        StoreUnavailable("The platform's answer can't be read: ${e.message}.").left()
    } catch (e: IOException) {
        StoreUnavailable("The platform's answer broke off: ${e.message}.").left()
    }

    private fun unexpectedStatus(url: String, response: HttpResponse) =
        StoreUnavailable("$url answered ${response.status.value}; try again later.")

    private companion object {
        const val NOT_FOUND = 404
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
