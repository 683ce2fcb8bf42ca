/** Replicated tables of kept turns and program budgets. The code in this package does no I/O. */
package org.cicadahead.turns;
