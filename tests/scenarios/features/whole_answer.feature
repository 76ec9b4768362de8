Feature: A caller gets the whole answer to their own request

  Scenario: Many concurrent callers, with late and reordered answers
    Given 2 entries and 2 workers with 4 slots
    When 200 callers send requests of mixed length through all entries
    Then every caller got the whole answer to their own request

  Scenario: Links are replaced under load
    Given 2 entries and 2 workers with 4 slots, with relays to the entries
    When callers send requests through all entries without pause
    And all links are cut 3 times
    And the load ends after 100 more answers
    Then every caller got the whole answer to their own request, or a problem

  Scenario: A link goes silent while new ones work
    Given 1 entry and 1 worker with 4 slots, with relays to the entries
    When the existing links go silent
    Then requests are answered again
    And the agent of "w1" has logged "silent"

  Scenario: A runner dies in the middle of its answer
    Given 1 entry and 1 worker with 2 slots
    When "half" is sent as POST "/orders/a?die=1&size=5000"
    Then "half" ends with outcome "ran"
    When "next" is sent as POST "/orders/b"
    Then "next" ends with status 200

  Scenario: Pipelined requests on one connection
    Given 1 entry and 1 worker with 4 slots
    When 10 requests are sent at once on one connection
    Then the answers come back whole and in order
