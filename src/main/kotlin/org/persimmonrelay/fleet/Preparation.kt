package org.persimmonrelay.fleet

/**
 * What has to happen before an order is sent; a result other than null ends the attempt without an order.
 *
 * [mayBegin] is asked before a new order only; [drain] runs before every settling, since an order left by an
 * earlier holder may meet an engine that works again.
 */
internal class Preparation(
    val mayBegin: suspend () -> ServerChangeResult?,
    val drain: suspend () -> ServerChangeResult?,
) {
    companion object {
        val NONE: Preparation = Preparation({ null }, { null })
    }
}
