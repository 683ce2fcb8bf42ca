/** Replicated tables of kept turns and program budgets, without input or output. */
package org.cicadahead.turns;
