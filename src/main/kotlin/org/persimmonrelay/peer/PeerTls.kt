/*
 * Mutual TLS between nodes. A node's certificate is signed by the operators' certificate authority for nodes and has
 * NODE_NAME as DNS name or, without DNS names, as common name. It proves that the peer is one of the operators'
 * nodes, not that it has a certain address, because hosts are replaced at any time and connect by IP address.
 */
package org.persimmonrelay.peer

import io.grpc.netty.GrpcSslContexts
import io.netty.handler.ssl.ClientAuth
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import io.netty.handler.ssl.SslProvider
import org.persimmonrelay.settings.PeerSettings
import org.persimmonrelay.settings.TlsSettings
import java.io.File
import java.net.InetAddress
import java.security.cert.X509Certificate
import javax.naming.ldap.LdapName

/** Builds TLS contexts from [TlsSettings] and checks where TLS is required. */
internal object PeerTls {
    /** DNS name in the certificate of every node. */
    const val NODE_NAME = "node.persimmonrelay.internal"

    private const val DNS_NAME_TYPE = 2

    fun serverContext(settings: TlsSettings): SslContext {
        val builder =
            SslContextBuilder.forServer(File(settings.certificateFile), File(settings.privateKeyFile))
                .trustManager(File(settings.trustFile))
                .clientAuth(ClientAuth.REQUIRE)
        return GrpcSslContexts.configure(builder, SslProvider.JDK).build()
    }

    fun clientContext(settings: TlsSettings): SslContext {
        val builder =
            SslContextBuilder.forClient()
                .keyManager(File(settings.certificateFile), File(settings.privateKeyFile))
                .trustManager(File(settings.trustFile))
        return GrpcSslContexts.configure(builder, SslProvider.JDK).build()
    }

    /** True when [certificate] has [NODE_NAME] among its DNS names or, when it has none, as common name. */
    fun isNodeCertificate(certificate: X509Certificate): Boolean {
        val names = certificate.subjectAlternativeNames.orEmpty().filter { it[0] == DNS_NAME_TYPE }.map { it[1] }
        return NODE_NAME in names.ifEmpty { commonNames(certificate) }
    }

    private fun commonNames(certificate: X509Certificate): List<Any> =
        LdapName(certificate.subjectX500Principal.name).rdns.filter { it.type.equals("CN", ignoreCase = true) }
            .map { it.value }

    /** True when [host] is a loopback address, so that traffic stays on this machine. */
    fun isLoopback(host: String): Boolean = InetAddress.getByName(host).isLoopbackAddress

    /** Throws [IllegalArgumentException] when [settings] allow unencrypted connections from other machines. */
    fun requireTlsUnlessLoopback(settings: PeerSettings) {
        require(settings.tls != null || isLoopback(settings.host)) {
            "peer.host ${settings.host} is not a loopback address and peer.tls is absent; " +
                "give certificateFile, privateKeyFile and trustFile, or listen on 127.0.0.1."
        }
    }
}
