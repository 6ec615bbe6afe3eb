//! Issues tickets to callers: `POST /v1/tickets?service=NAME&count=N`.

use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use sedgepath_core::deduplication::tickets::{MintError, TICKET_VALIDITY_MS};
use sedgepath_core::request::Ticket;
use sedgepath_wire::ticket;
use serde_json::json;

use super::CallerServer;
use super::parsing::query_value;
use super::responses::{ResponseBody, json_response, rejection_response};

impl CallerServer {
    /// Responds to a caller's request for tickets.
    ///
    /// The response must not be cached: if a ticket were issued twice, the second action would be
    /// taken for a repeat of the first and never run.
    pub(super) async fn handle_tickets(
        &self,
        request: &Request<Incoming>,
    ) -> Response<ResponseBody> {
        let mut response = self.mint_tickets(request).await;
        response.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        response
    }

    async fn mint_tickets(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        if request.method() != Method::POST {
            return rejection_response(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed");
        }
        let query = request.uri().query();
        let Some(service) = query_value(query, "service") else {
            return rejection_response(StatusCode::BAD_REQUEST, "service_missing");
        };
        let count = query_value(query, "count").map_or(Some(1), |count| count.parse().ok());
        match self.handle.mint_tickets(service, count.unwrap_or(0)).await {
            Some(Ok(tickets)) => self.tickets_response(&tickets),
            Some(Err(error)) => rejection_response(mint_error_status(error), error.name()),
            None => rejection_response(StatusCode::SERVICE_UNAVAILABLE, MintError::Stopping.name()),
        }
    }

    fn tickets_response(&self, tickets: &[Ticket]) -> Response<ResponseBody> {
        let texts: Vec<_> =
            tickets.iter().map(|ticket| ticket::format(&self.ticket_key, ticket)).collect();
        let body = json!({
            "tickets": texts,
            "expires_at_ms": tickets.first().map(|ticket| ticket.expires_at_ms),
            "expires_after_ms": TICKET_VALIDITY_MS,
        });
        json_response(StatusCode::OK, &body)
    }
}

fn mint_error_status(error: MintError) -> StatusCode {
    match error {
        MintError::NoService => StatusCode::NOT_FOUND,
        MintError::CountOutOfRange => StatusCode::BAD_REQUEST,
        MintError::TooManyValidTickets | MintError::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}
