package org.persimmonrelay.entry

import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.RoutingPipelineCall

/** Looks at the connection that a call came over. */
internal object CallerConnection {
    /**
     * True when the caller closed it already. A call whose connection closes later is cancelled by the server; one
     * whose connection closed before the call's handling began is not, and would run for nobody.
     */
    fun isGone(call: ApplicationCall): Boolean {
        val routed = (call as? RoutingCall)?.pipelineCall ?: call
        val engineCall = (routed as? RoutingPipelineCall)?.engineCall ?: routed
        return (engineCall as? NettyApplicationCall)?.context?.channel()?.isActive == false
    }
}
