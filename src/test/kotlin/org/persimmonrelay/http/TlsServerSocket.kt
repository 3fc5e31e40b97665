package org.persimmonrelay.http

import io.ktor.network.tls.certificates.buildKeyStore
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.security.KeyStore
import java.security.cert.X509Certificate
import java.util.concurrent.ConcurrentHashMap
import javax.net.ssl.KeyManagerFactory
import javax.net.ssl.SSLContext
import javax.net.ssl.SSLSocket

/** Accepts encrypted connections on loopback, with a certificate of its own for [name]. */
class TlsServerSocket(name: String) : ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1")) {
    private val keys: KeyStore = buildKeyStore {
        certificate(ALIAS) {
            password = PASSWORD
            domains = listOf(name)
            ipAddresses = emptyList()
        }
    }
    private val context = serverContext()
    private val transports = ConcurrentHashMap<Socket, Socket>()

    val certificate: X509Certificate get() = keys.getCertificate(ALIAS) as X509Certificate

    override fun accept(): Socket {
        val transport = super.accept()
        val socket = context.socketFactory.createSocket(transport, null, true) as SSLSocket
        transports[socket] = transport
        return socket
    }

    /** The connection that carries the encrypted data of [socket]. It ends without TLS's mark of the end. */
    fun transportOf(socket: Socket): Socket = transports.getValue(socket)

    private fun serverContext(): SSLContext {
        val managers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm())
        managers.init(keys, PASSWORD.toCharArray())
        return SSLContext.getInstance("TLS").apply { init(managers.keyManagers, null, null) }
    }

    private companion object {
        const val ALIAS = "server"
        const val PASSWORD = "test-only"
        const val BACKLOG = 50
    }
}
