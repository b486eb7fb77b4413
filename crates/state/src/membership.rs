//! Members of the failure domain and summaries of the others.
