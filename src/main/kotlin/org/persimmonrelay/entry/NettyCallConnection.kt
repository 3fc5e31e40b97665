package org.persimmonrelay.entry

import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.RoutingPipelineCall

/** State of the Netty connection of a call. */
internal object NettyCallConnection {
    /**
     * True when the caller has closed the connection. The server cancels calls whose connection closes while they are
     * handled, but not calls whose connection closed before that; those would run although no caller is connected.
     */
    fun isClosed(call: ApplicationCall): Boolean {
        val routed = (call as? RoutingCall)?.pipelineCall ?: call
        val engineCall = (routed as? RoutingPipelineCall)?.engineCall ?: routed
        return (engineCall as? NettyApplicationCall)?.context?.channel()?.isActive == false
    }
}
