/** The store: replicates kept turns and the token budgets of programs. */
package org.cicadahead.store;
