/** The admin HTTP API of control. */
package org.cicadahead.operator;
