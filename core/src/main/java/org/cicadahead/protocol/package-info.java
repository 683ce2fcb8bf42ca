/** Messages between the processes. All types are immutable records encoded as MessagePack maps. */
package org.cicadahead.protocol;
