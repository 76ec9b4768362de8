Feature: A target that is leaving receives no new work

  Scenario: An agent announces that it stops
    Given 1 entry and 2 workers with 4 slots
    When callers send requests through all entries without pause
    And the agent of "w1" is asked to stop
    Then the runners of "w1" receive no requests after 3 s
    And every caller got the whole answer to their own request

  Scenario: An agent stops answering without an announcement
    Given 1 entry and 2 workers with 4 slots
    When the agent of "w1" is frozen
    Then entry "e1" drops "w1" within 3 s
    And requests are answered again

  Scenario: A runner withdraws its announcement
    Given 1 entry and 2 workers with 4 slots
    When callers send requests through all entries without pause
    And the runner of "w1" is asked to stop
    Then the runners of "w1" receive no requests after 3 s
    And every caller got the whole answer to their own request

  Scenario: All links of an entry go silent both ways under load
    Given 2 entries and 2 workers with 4 slots, with relays to the entries
    When callers send requests through all entries without pause
    And the link between "e1" and the agents is silent
    Then entry "e1" drops "w1" within 3 s
    And entry "e1" drops "w2" within 3 s
    When "none" is sent as POST "/orders/a" through "e1"
    And "other" is sent as POST "/orders/a" through "e2"
    Then "none" ends with outcome "not_run"
    And the runners never saw "none"
    And "other" ends with status 200
    When the link between "e1" and the agents is back
    Then requests are answered again
    And every caller got the whole answer to their own request, or a problem
