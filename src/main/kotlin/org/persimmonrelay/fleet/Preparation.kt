package org.persimmonrelay.fleet

/**
 * Steps before an order is sent; a result other than null ends the attempt without sending.
 *
 * [mayBegin] is called before a new order only. [drain] is called before an outstanding order is settled as well, since
 * the engine may have got new work after an earlier holder drained it.
 */
internal class Preparation(
    val mayBegin: suspend () -> ServerChangeResult?,
    val drain: suspend () -> ServerChangeResult?,
) {
    companion object {
        val NONE: Preparation = Preparation({ null }, { null })
    }
}
