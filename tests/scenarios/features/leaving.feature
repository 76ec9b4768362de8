Feature: A target that is leaving receives no new work

  Scenario: An agent says goodbye
    Given 1 entry and 2 workers with 4 slots
    When callers send requests through all entries without pause
    And the agent of "w1" is asked to stop
    Then the runners of "w1" are handed nothing more after 3 s
    And every caller got the whole answer to their own request

  Scenario: The goodbye is lost, the connection silent
    Given 1 entry and 2 workers with 4 slots
    When the agent of "w1" is frozen
    Then entry "e1" gives "w1" up within 3 s
    And requests are answered again

  Scenario: A runner withdraws its announcement
    Given 1 entry and 2 workers with 4 slots
    When callers send requests through all entries without pause
    And the runner of "w1" is asked to stop
    Then the runners of "w1" are handed nothing more after 3 s
    And every caller got the whole answer to their own request
