"""The drill: joins the decision module to the bench's wire on standard input and output."""
